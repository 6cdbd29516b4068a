package main

import (
	"starlingwinch/internal/lab"
	"starlingwinch/internal/lab/bare"
)

// node is the router that virtual runs are made of.
var node lab.Start = bare.Start
