package settings

import (
	"strings"
	"testing"
	"time"
)

const nodeSettings = `{"role":"entry","name":"e1","data_centre":"dc1","stop_timeout":"6s","node":{
"ip":"10.1.0.13","caller_listen":"10.1.0.13:8161","ready_listen":"10.1.0.13:8167","announce_listen":"",
"metrics_port":9464,"peer_port":7720,"seeds":"10.1.0.13:8166, 10.2.0.30:8166","store":"10.200.1.7:8169",
"target_lease":"1000ms","memory_mb":284}}`

func TestNodeSettings(t *testing.T) {
	s, err := Parse([]byte(nodeSettings))
	if err != nil {
		t.Fatal(err)
	}
	if got := s.Node.SeedIPs(); len(got) != 2 || got[1] != "10.2.0.30" {
		t.Errorf("seeds %v", got)
	}
	if s.Node.TargetLease.Std() != time.Second || s.StopTimeout.Std() != 6*time.Second {
		t.Errorf("lease %v, stop %v", s.Node.TargetLease.Std(), s.StopTimeout.Std())
	}
	if got := s.Node.CallerRetryTime(); got != defaultCallerRetry {
		t.Errorf("caller retry %v by default", got)
	}
}

func TestInvalidNodeSettingIsNamed(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"role":"entry"`, `"role":"side"`, `role is "side"`},
		{`"ip":"10.1.0.13"`, `"ip":"here"`, `node.ip is "here"`},
		{`"store":"10.200.1.7:8169"`, `"store":"10.200.1.7"`, `node.store "10.200.1.7"`},
		{`"store":"10.200.1.7:8169"`, `"store":""`, `node.store is missing`},
		{`"peer_port":7720`, `"peer_port":0`, `node.peer_port is 0`},
		{`"1000ms"`, `"100ms"`, `node.target_lease is 100ms, expected a number from 400ms to 1h0m0s`},
		{`"memory_mb":284`, `"memory_mb":284,"caller_retry":"-1s"`, `node.caller_retry is -1s, expected a number from 0s to 1h0m0s`},
		{`"memory_mb":284`, `"memory_mb":0`, `node.memory_mb is 0`},
		{`"memory_mb":284`, `"memory_mb":9223372036854775807`, `node.memory_mb is 9223372036854775807, expected a number from 1 to 1073741824`},
		{`"1000ms"`, `"2562047h"`, `node.target_lease is 2562047h0m0s`},
		{`"6s"`, `"-6s"`, `stop_timeout is -6s`},
		{`"ready_listen":"10.1.0.13:8167"`, `"ready_listen":""`, `node.ready_listen is missing`},
		{`"memory_mb":284`, `"memory_mb":284,"colour":1`, `unknown field "colour"`},
		{`"role":"entry"`, `"role":"agent"`, `node.announce_listen is missing`},
	} {
		_, err := Parse([]byte(strings.Replace(nodeSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", c.new, err, c.want)
		}
	}
}
