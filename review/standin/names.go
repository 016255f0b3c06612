package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var namesText string

// names holds names of the platform's protocol by what they mean here.
var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(text) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		m[key] = name
	}
	return m
}
