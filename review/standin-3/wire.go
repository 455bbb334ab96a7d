package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireFile []byte

// wire holds the names of the users' platform, which Go code outside platform/ does not spell.
var wire = func() (names struct {
	Start       string `json:"start"`
	Stop        string `json:"stop"`
	Poll        string `json:"poll"`
	List        string `json:"list"`
	Ready       string `json:"ready"`
	Unstored    string `json:"unstored"`
	RoutePrefix string `json:"route_prefix"`
	Deadline    string `json:"deadline"`
	Incarnation string `json:"incarnation"`
}) {
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err)
	}
	return names
}()
