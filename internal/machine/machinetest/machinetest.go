// Package machinetest holds what every machine.Machine must do: one suite of tests for the real machine and for the
// virtual one, so that what is tried on the one holds on the other. It waits for events and never for
// a time to pass.
package machinetest

import (
	"testing"

	"starlingwinch/internal/machine"
)

// Rig is two machines that reach each other; they may be one and the same.
type Rig struct {
	A, B     machine.Machine
	IPA, IPB string // the addresses to listen at
	// RunUntil lets the machines run until the condition holds, which it looks at between turns of the
	// loop. It reports false where that does not come about in good time.
	RunUntil func(until func() bool) bool
	// PutFile writes a file that A can read, and gives its name.
	PutFile func(content []byte) string
	// Folder is an empty folder of A.
	Folder string
	// PutLink puts a symbolic link to something that can be read under a name.
	PutLink func(name string)
	// RemoveFolder takes Folder away with all that is in it.
	RemoveFolder func()
	// Signal sends A's process a signal. Nil leaves those tests out.
	Signal func(machine.Signal)
	// Worker is how A starts one of the workers of the suite. Nil leaves those tests out.
	Worker func(which string) machine.Worker
	// TakesLess says that the machines may take less than they are given at any time, not only where much waits to be read.
	TakesLess bool
	// Nowhere is an address that gives no answer of any kind. Empty leaves those tests out.
	Nowhere string
}

// Run runs the suite. newRig is called for each test.
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
	{"TimersOfOneInstantFireInTheOrderInWhichTheyWereSet", timersInOrder},
	{"TimersNeverFireEarly", timersNotEarly},
	{"StoppedTimersDoNotFire", timersStopped},
	{"APassedInstantIsALaterTurn", timerInThePast},
	{"PostsRunLaterAndInOrder", postsInOrder},
	{"WorkIsDoneBeforeItsDone", workThenDone},
	{"BothEndsAgreeOnTheirAddresses", addresses},
	{"WhatIsWrittenBeforeAcceptIsTold", earlyBytes},
	{"AMegabyteComesWholeThroughShortWrites", largeTransfer},
	{"AHalfClosedConnectionStillAnswers", halfClose},
	{"AClosedConnectionReadsAsEndedOnTheOtherSide", closeIsEnd},
	{"BytesLeftUnreadEndAConnectionForBoth", closeUnread},
	{"NoCallComesAfterClose", closeIsSilent},
	{"QuietTellsOfBytesAndOfTheEnd", quiet},
	{"TheEndIsKnownThoughBytesBeforeItAreUnread", endUnread},
	{"AListenerThatFinishesTakesInWhatWaits", finished},
	{"AListenerThatIsClosedFirstDoesNotFinish", notFinished},
	{"NobodyListeningIsRefused", refused},
	{"ABadAddressFailsInALaterTurn", badAddress},
	{"ACancelledDialIsNotTold", cancelled},
	{"ADialThatNobodyAnswersTimesOut", timesOut},
	{"APausedListenerTakesNothingIn", paused},
	{"AClosedListenerRefusesAndKeepsWhatItTookIn", listenerClosed},
	{"AnAddressIsListenedAtOnce", addressInUse},
	{"DatagramsCanBeAnswered", datagrams},
	{"FilesAreReadUpToABound", files},
	{"SignalsWaitForTheirHandler", signals},
	{"AWorkerIsTalkedTo", workerEchoes},
	{"AMegabyteComesBackFromAWorker", workerMegabyte},
	{"AWorkersEndIsTheEndOfItsConnection", workerEnds},
	{"AKilledWorkerSaysNothingMore", workerKilled},
	{"AWorkerThatIsKilledBeforeItIsUpIsNotTold", workerKilledEarly},
	{"AWorkerWithoutAHandlerEnds", workerUnwanted},
	{"WorksOnTheDiskAreDoneInOrderEachBeforeItsDone", diskInOrder},
	{"ACreatedFileIsReadBack", created},
	{"NoFileIsCreatedWhereANameIsTaken", createdOnce},
	{"ARenamedFileStandsUnderItsNewNameAlone", renamed},
	{"ARemovedFileIsGone", removed},
	{"NoCallFollowsALink", links},
	{"ALockKeepsOthersOutUntilItIsReleased", locks},
	{"ALockWhoseFileWasRemovedHoldsNoMore", lockRemoved},
	{"AFolderThatIsGoneIsSaid", folderGone},
}

// bench is a rig with the helpers of the tests.
type bench struct {
	Rig
	*testing.T
	inside bool
}

// wait runs the machines until the condition holds.
func (b *bench) wait(what string, until func() bool) {
	b.Helper()
	if !b.RunUntil(until) {
		b.Fatalf("never came: %s", what)
	}
}

// turn notes that the machine calls its user, and fails where it does so within another call. The result is to
// be called at the end.
func (b *bench) turn() func() {
	if b.inside {
		b.Error("the machine called its user from within a call")
	}
	b.inside = true
	return func() { b.inside = false }
}

// call makes calls to the machine as a user would, outside of its callbacks.
func (b *bench) call(f func()) {
	defer b.turn()()
	f()
}
