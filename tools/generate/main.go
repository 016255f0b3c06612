// Generate runs the plug-ins of protoc on one proto file of the current folder.
// The file is parsed in Go, so that protoc itself isn't needed.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: generate FILE.proto PLUGIN...")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run writes the files that the plug-ins generate for a proto file.
func run(file string, plugins []string) error {
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}, SourceInfoMode: protocompile.SourceInfoStandard}
	files, err := c.Compile(context.Background(), file)
	if err != nil {
		return err
	}
	parameter := "paths=source_relative"
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file}, Parameter: &parameter,
		ProtoFile: []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(files[0])},
	})
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := generate(plugin, request); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// generate runs one plug-in and writes its files.
func generate(plugin string, request []byte) error {
	cmd := exec.Command(plugin)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(request), os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return err
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(output, response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s", *response.Error)
	}
	for _, f := range response.File {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
