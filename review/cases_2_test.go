package review

import (
	"os"
	"os/exec"
	"testing"
)

// This file names the cases of the second review for KNOWN-RED.txt, see REPORT-2.md. They are played as those of the first:
//
//	go test ./review -run TestReviewKeyedTwice -v -args -play

func playSecond(t *testing.T, folder string) {
	t.Helper()
	if !*play {
		t.Skip("a case of the review is played with -args -play")
	}
	for _, script := range []string{"./build-2.sh", "./" + folder + "/run.sh"} {
		command := exec.Command(script)
		command.Stdout, command.Stderr = os.Stdout, os.Stderr
		if err := command.Run(); err != nil {
			t.Fatalf("%s: %v", script, err)
		}
	}
}

func TestReviewKeyedTwice(t *testing.T) { playSecond(t, "6") }

func TestReviewStaleRelease(t *testing.T) { playSecond(t, "7") }

func TestReviewEndsAfterKill(t *testing.T) { playSecond(t, "8") }

func TestReviewBlind(t *testing.T) { playSecond(t, "9") }

func TestReviewSecondStart(t *testing.T) { playSecond(t, "10") }
