package sychealth

import "time"

// transition leads from one state to another when its event is observed and
// its guard holds.
type transition struct {
	from  State
	event Event
	guard func(h *Health, now time.Duration) bool
	to    State
}

// transitions is the state chart; at most one guard of a state and event holds.
var transitions = []transition{
	{Healthy, Failure, always, Suspect},
	{Healthy, Slow, slowStreak, Suspect},
	{Healthy, Unreachable, always, Out},
	{Suspect, Success, successStreak, Healthy},
	{Suspect, Failure, failureStreak, Out},
	{Suspect, Slow, longSlowStreak, Out},
	{Suspect, Unreachable, always, Out},
	{Out, Elapsed, pauseOver, Probing},
	{Out, Answered, wasUnreachable, Probing},
	{Probing, Success, always, Suspect},
	{Probing, Failure, always, Out},
	{Probing, Slow, always, Out},
	{Probing, Unreachable, always, Out},
}

func always(*Health, time.Duration) bool { return true }

func slowStreak(h *Health, _ time.Duration) bool { return h.slows >= slowsSuspect }

func longSlowStreak(h *Health, _ time.Duration) bool { return h.slows >= slowsOut }

func failureStreak(h *Health, _ time.Duration) bool { return h.failures >= failuresOut }

func successStreak(h *Health, _ time.Duration) bool { return h.successes >= successesHealthy }

func pauseOver(h *Health, now time.Duration) bool { return now >= h.until }

func wasUnreachable(h *Health, _ time.Duration) bool { return h.unreachable }
