//go:build race

package planted_test

const raced = true
