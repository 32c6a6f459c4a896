package rttarget

import (
	"errors"
	"net/http"
	"strings"
	"testing"
)

// fixedStatus answers every request with one status.
type fixedStatus int

// RoundTrip implements http.RoundTripper.
func (s fixedStatus) RoundTrip(request *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(s), Body: http.NoBody, Header: http.Header{}, Request: request}, nil
}

// Guards against an order that is reported as not run because of a status that is no
// refusal: an invalid one, a success other than 200, or a redirection.
func TestRefusedStatuses(t *testing.T) {
	tests := []struct {
		status  int
		valid   bool
		refused bool
	}{
		{42, false, false},
		{202, true, false},
		{304, true, false},
		{400, true, true},
		{409, true, true},
		{499, true, true},
		{500, true, false},
		{599, true, false},
		{600, false, false},
		{999, false, false},
	}
	for _, test := range tests {
		service := NewService(&http.Client{Transport: fixedStatus(test.status)}, "10.0.0.1:80")
		_, err := service.Run(t.Context(), RunRequest{})
		var status *StatusError
		valid := errors.As(err, &status)
		if err == nil || valid != test.valid || valid && status.Refused() != test.refused {
			t.Errorf("status %d: got error %v, valid %v; want valid %v, refused %v", test.status, err, valid, test.valid, test.refused)
		}
		if !test.valid && !strings.Contains(err.Error(), "want 100 to 599") {
			t.Errorf("status %d: got error %v, want one that names the valid ones", test.status, err)
		}
	}
}
