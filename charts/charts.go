// Package charts embeds the state charts, which package chart interprets.
package charts

import "embed"

// Files holds one JSON file for each state chart.
//
//go:embed *.json
var Files embed.FS
