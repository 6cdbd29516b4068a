package main

import "starlingwinch/internal/lab/node"

// start starts the router that virtual runs are made of.
var start = node.Start
