// Command protogen compiles .proto files and runs protoc plugins on them to generate code:
// protogen -out DIR -plugin NAME -plugin NAME FILE...
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"github.com/bufbuild/protocompile/protoutil"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// plugins is a flag value that collects the names of a repeatable flag.
type plugins []string

// String implements flag.Value.
func (p *plugins) String() string { return strings.Join(*p, ",") }

// Set implements flag.Value.
func (p *plugins) Set(name string) error {
	*p = append(*p, name)
	return nil
}

func main() {
	out := flag.String("out", ".", "directory for the generated files")
	options := flag.String("opt", "", "options of all plugins")
	var names plugins
	flag.Var(&names, "plugin", "plugin to run, found on PATH; may be repeated")
	flag.Parse()
	if err := run(*out, *options, names, flag.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(out, options string, names plugins, files []string) error {
	request, err := compile(files)
	if err != nil {
		return err
	}
	request.Parameter = &options
	for _, name := range names {
		if err := generate(out, name, request); err != nil {
			return err
		}
	}
	return nil
}

// compile returns the code generation request for files, relative to the working directory.
func compile(files []string) (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return nil, eris.Wrap(err, "compile schema")
	}
	return &pluginpb.CodeGeneratorRequest{FileToGenerate: files, ProtoFile: withImports(compiled)}, nil
}

// withImports returns the descriptors of files and of their transitive imports, with each
// import before the files that use it, as the plugin protocol requires.
func withImports(files linker.Files) []*descriptorpb.FileDescriptorProto {
	var descriptors []*descriptorpb.FileDescriptorProto
	seen := make(map[string]bool)
	var add func(protoreflect.FileDescriptor)
	add = func(file protoreflect.FileDescriptor) {
		if seen[file.Path()] {
			return
		}
		seen[file.Path()] = true
		for i := range file.Imports().Len() {
			add(file.Imports().Get(i).FileDescriptor)
		}
		descriptors = append(descriptors, protoutil.ProtoFromFileDescriptor(file))
	}
	for _, file := range files {
		add(file)
	}
	return descriptors
}

// generate runs one plugin and writes the files that it returns.
func generate(out, name string, request *pluginpb.CodeGeneratorRequest) error {
	input, err := proto.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode code generator request")
	}
	command := exec.Command(name)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return eris.Wrap(err, name)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return eris.Wrapf(err, "answer of %s", name)
	}
	if message := response.GetError(); message != "" {
		return eris.Errorf("%s: %s", name, message)
	}
	for _, file := range response.GetFile() {
		if err := write(filepath.Join(out, file.GetName()), file.GetContent()); err != nil {
			return err
		}
	}
	return nil
}

func write(path, content string) error {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return eris.Wrap(err, "create directory of generated file")
	}
	return eris.Wrap(os.WriteFile(path, []byte(content), fileMode), "write generated file")
}
