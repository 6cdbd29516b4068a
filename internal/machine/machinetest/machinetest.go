// Package machinetest is a conformance test suite for implementations of machine.Machine. The real and the virtual machine
// both run the suite, so that results obtained on one machine hold on the other. The tests wait for events, never for a fixed
// time on the real clock.
package machinetest

import (
	"testing"

	"starlingwinch/internal/machine"
)

// Rig describes two machines that can reach each other. A and B may be the same machine.
type Rig struct {
	A, B     machine.Machine
	IPA, IPB string // addresses to listen at
	// RunUntil runs the machines until the condition holds, which it checks between turns of the loop. It returns false if the
	// condition does not hold within a time limit.
	RunUntil func(until func() bool) bool
	// PutFile writes a file that A can read and returns its name.
	PutFile func(content []byte) string
	// Folder is the path of an empty folder on A.
	Folder string
	// PutLink creates a symbolic link with the name to a readable file.
	PutLink func(name string)
	// RemoveFolder removes Folder with its content.
	RemoveFolder func()
	// Signal sends a signal to A's process. If nil, the tests of signals are skipped.
	Signal func(machine.Signal)
	// Worker returns the description with which A starts one of the suite's workers. If nil, the tests of workers are skipped.
	Worker func(which string) machine.Worker
	// TakesLess reports that a transfer may be short at any time, not only when buffers are full.
	TakesLess bool
	// Nowhere is an address that never answers. If empty, the tests that need the address are skipped.
	Nowhere string
}

// Run runs the suite with a new rig for each test.
func Run(t *testing.T, newRig func(t *testing.T) Rig) {
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.f(&bench{Rig: newRig(t), T: t})
		})
	}
}

var tests = []struct {
	name string
	f    func(*bench)
}{
	{"TimersDueAtOneInstantFireInOrderOfSetting", timersInOrder},
	{"TimersNeverFireEarly", timersNeverEarly},
	{"StoppedTimersDoNotFire", stoppedTimers},
	{"TimerInThePastFiresInALaterTurn", timerInThePast},
	{"PostedFunctionsRunLaterInOrder", postsInOrder},
	{"WorkEndsBeforeDoneIsCalled", workBeforeDone},
	{"BothEndsOfAConnectionAgreeOnAddresses", connAddresses},
	{"BytesWrittenBeforeAcceptAreReported", bytesBeforeAccept},
	{"LargeTransferIsCompleteDespiteShortWrites", largeTransfer},
	{"HalfClosedConnectionStillReceives", halfClose},
	{"CloseIsReadAsEndByPeer", closeEndsPeer},
	{"CloseWithUnreadBytesEndsBothDirections", closeWithUnreadBytes},
	{"NoCallbackAfterClose", noCallbackAfterClose},
	{"QuietReportsUnreadBytesAndEnd", connQuiet},
	{"EndIsReportedBeforeUnreadBytesAreRead", endBeforeUnreadBytes},
	{"FinishAcceptsQueuedConnections", listenerFinish},
	{"ListenerClosedFirstDoesNotFinish", listenerCloseBeforeFinish},
	{"DialWithoutListenerIsRefused", dialRefused},
	{"DialOfInvalidAddressFailsInALaterTurn", dialInvalidAddress},
	{"CancelledDialIsNotReported", dialCancelled},
	{"UnansweredDialTimesOut", dialTimeout},
	{"PausedListenerAcceptsNothing", listenerPaused},
	{"ClosedListenerRefusesAndKeepsAcceptedConnections", listenerClosed},
	{"ListenFailsForUsedAndForeignAddresses", listenErrors},
	{"DatagramsCanBeAnswered", datagrams},
	{"FilesAreReadUpToALimit", readFile},
	{"SignalsAreQueuedUntilAHandlerIsSet", signals},
	{"WorkerEchoesBytes", workerEchoes},
	{"WorkerEchoesLargeTransfer", workerLargeTransfer},
	{"WorkerExitEndsItsConnection", workerEnds},
	{"KilledWorkerCausesNoCallback", workerKilled},
	{"WorkerKilledBeforeStartIsNotReported", workerKilledEarly},
	{"WorkerWithoutHandlerEnds", workerWithoutHandler},
	{"DiskWorkRunsInOrderAndEndsBeforeDoneIsCalled", diskInOrder},
	{"CreatedFileIsReadBack", createFile},
	{"CreateFailsForExistingName", createExisting},
	{"RenamedFileHasOnlyItsNewName", renameFile},
	{"RemovedFileIsMissing", removeFile},
	{"NoCallFollowsASymbolicLink", symbolicLinks},
	{"LockExcludesOthersUntilReleased", lockFile},
	{"LockDoesNotHoldAfterItsFileIsRemoved", lockRemoved},
	{"CallsInAMissingFolderFail", missingFolder},
}

// bench combines a rig with the helpers of the tests.
type bench struct {
	Rig
	*testing.T
	inside bool // a callback or a call to the machine is in progress
}

// wait runs the machines until the condition holds.
func (b *bench) wait(what string, until func() bool) {
	b.Helper()
	if !b.RunUntil(until) {
		b.Fatalf("timed out waiting for %s", what)
	}
}

// enterCallback records the start of a callback, and fails the test if the machine makes the callback within another call. The
// returned function records the end.
func (b *bench) enterCallback() func() {
	if b.inside {
		b.Error("the machine made a callback within another call")
	}
	b.inside = true
	return func() { b.inside = false }
}

// call runs f, which makes calls to the machine outside of callbacks.
func (b *bench) call(f func()) {
	defer b.enterCallback()()
	f()
}
