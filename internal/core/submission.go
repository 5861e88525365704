package core

import (
	"math"
	"strings"

	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// submission mirrors wire.Job with every required field a pointer, to tell a
// missing field from a zero.
type submission struct {
	ID          *string  `json:"nameId"`
	Class       *string  `json:"jobclass"`
	Team        *string  `json:"crew"`
	Shape       *string  `json:"shape"`
	Priority    *string  `json:"urgency"`
	Tasks       *float64 `json:"shards"`
	CPUs        *float64 `json:"cpus"`
	GPUs        *float64 `json:"accelerators"`
	MemGB       *float64 `json:"memGb"`
	Image       *string  `json:"bundle"`
	ImageGB     *float64 `json:"pullGb"`
	Types       []string `json:"hulls"`
	Zone        *string  `json:"berth"`
	OneZone     *bool    `json:"together"`
	Spread      *bool    `json:"apart"`
	Spot        *bool    `json:"standby"`
	EstimateS   *float64 `json:"guessS"`
	CheckpointS *float64 `json:"markS"`
	SaveS       *float64 `json:"stowS"`
	DeadlineS   *float64 `json:"dueS"`
}

func parseSubmission(body []byte) (*wire.Job, string) {
	var s submission
	trimmed := strings.TrimLeft(string(body), " \t\r\n")
	if !strings.HasPrefix(trimmed, "{") || json.Unmarshal(body, &s) != nil {
		return nil, "not a JSON object with fields of the right kind"
	}
	for _, p := range []*string{s.ID, s.Class, s.Team, s.Shape, s.Priority, s.Image} {
		if p == nil || *p == "" {
			return nil, "a field is missing"
		}
	}
	for _, p := range []*float64{s.Tasks, s.CPUs, s.GPUs, s.MemGB, s.ImageGB, s.EstimateS, s.CheckpointS, s.SaveS} {
		if p == nil {
			return nil, "a field is missing"
		}
		if *p < 0 || math.IsInf(*p, 0) || math.IsNaN(*p) {
			return nil, "an amount is below 0"
		}
	}
	if s.OneZone == nil || s.Spread == nil || s.Spot == nil {
		return nil, "a field is missing"
	}
	if !validID(*s.ID) {
		return nil, "nameId is not a job id"
	}
	if n := *s.Tasks; n < 1 || n > 100000 || n != math.Trunc(n) {
		return nil, "shards is out of range"
	}
	switch *s.Shape {
	case wire.ShapeArray, wire.ShapeGang, wire.ShapeService:
	default:
		return nil, "shape is unknown"
	}
	if _, ok := priorityRank[*s.Priority]; !ok {
		return nil, "urgency is unknown"
	}
	if s.DeadlineS != nil && *s.DeadlineS < 0 {
		return nil, "dueS is below 0"
	}
	j := &wire.Job{ID: *s.ID, Class: *s.Class, Team: *s.Team, Shape: *s.Shape, Priority: *s.Priority,
		Tasks: int(*s.Tasks), CPUs: *s.CPUs, GPUs: *s.GPUs, MemGB: *s.MemGB, Image: *s.Image, ImageGB: *s.ImageGB,
		Types: s.Types, OneZone: *s.OneZone, Spread: *s.Spread, Spot: *s.Spot, EstimateS: *s.EstimateS,
		CheckpointS: *s.CheckpointS, SaveS: *s.SaveS, DeadlineS: s.DeadlineS}
	if s.Zone != nil {
		j.Zone = *s.Zone
	}
	return j, ""
}

// possible tells why a job can never run, or nothing.
func (c *Core) possible(j *wire.Job) string {
	team := c.team(j.Team)
	if team == nil {
		return "unknown team"
	}
	fits := false
	for _, t := range c.types {
		if !allowed(j.Types, t.Name) || !(topology.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}).Holds(size(j)) {
			continue
		}
		for _, z := range t.Zones {
			fits = fits || j.Zone == "" || j.Zone == z
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	n := 1.0
	if j.Shape != wire.ShapeArray {
		n = float64(j.Tasks)
	}
	if team.CPUsMax > 0 && j.CPUs*n > team.CPUsMax+1e-6 || team.GPUsMax > 0 && j.GPUs*n > team.GPUsMax+1e-6 {
		return "more than the team's limit"
	}
	return ""
}

func validID(id string) bool {
	digits := strings.TrimPrefix(id, "job-")
	if len(digits) == len(id) || len(digits) < 1 || len(digits) > 40 {
		return false
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return false
		}
	}
	return true
}
