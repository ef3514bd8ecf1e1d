// Package sycsuspect finds the blocks of prompts that end the engines that answer them.
//
// An engine that ends breaks off the answers of all its requests. Each of their blocks, apart
// from the last of each prompt, is then a suspect, unless its answer was already under way. A
// suspect that is answered well is sound again. A block that remains a suspect while several
// endpoints end, one after the other and under different requests, is convicted: requests with
// it are rejected. The end of an endpoint that a convicted block explains counts against no
// other block.
//
// An incarnation is one start of an endpoint. The end of an incarnation is certain once
// several answers broke off at about the same time, no connection can be made, or the registry
// says so. Ends that may have the same cause, such as the loss of a rack, are one wave: a
// further wave needs a request that was sent after the last one.
//
// Each VM has a Tracker. VMs exchange records of what they observe, so that all of them reach
// the same verdict though each sees only a part of an engine's requests. A conviction is
// adopted by all. Only the VM that holds the lease sends a request with a convicted block now
// and then, to check if the block is still harmful.
//
// A Tracker is a pure state machine: the caller passes it the time and every event.
package sycsuspect
