package main

import (
	"starlingwinch/internal/testbench/lab"
	"starlingwinch/internal/testbench/lab/node"
)

// router is what virtual runs are made of.
var router lab.Start = node.Start
