package sycscenario

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"sycamorecart.example/sycamorecart/internal/standin/sycdeploy"
	"sycamorecart.example/sycamorecart/internal/standin/sycoracle"
)

// samplePeriod is how often the VMs' status is read.
const samplePeriod = 250 * time.Millisecond

// status is the part of a VM's status that scenarios look at.
type status struct {
	Incarnation string            `json:"incarnation"`
	Applied     map[string]uint64 `json:"applied"`
}

// sample reads the applied offsets of all VMs until the context ends.
func (r *run) sample(ctx context.Context) []sycoracle.Applied {
	var samples []sycoracle.Applied
	for wait(ctx, samplePeriod) {
		for _, router := range r.Routers() {
			if s, ok := readStatus(ctx, router); ok {
				samples = append(samples, sycoracle.Applied{
					VM:          router.Name(),
					Incarnation: s.Incarnation,
					At:          time.Now(),
					Offset:      s.Applied["config"],
				})
			}
		}
	}
	return samples
}

func readStatus(ctx context.Context, router *sycdeploy.Router) (status, bool) {
	var s status
	ctx, cancel := context.WithTimeout(ctx, samplePeriod)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, router.Operators()+"/v1/status", nil)
	if err != nil {
		return s, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&s)
	return s, err == nil && response.StatusCode == http.StatusOK
}
