package main

import (
	"starlingwinch/internal/lab"
	"starlingwinch/internal/lab/node"
)

// router is what virtual runs are made of.
var router lab.Start = node.Start
