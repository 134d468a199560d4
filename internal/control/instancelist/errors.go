package instancelist

import (
	"fmt"
	"net/http"
)

// StatusError reports that the platform answered a request for a page with another HTTP status than 200.
type StatusError struct {
	Status int // HTTP status
}

// Error returns the status and the advice.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform's list answers %d; %s", e.Status, e.Advice())
}

// Advice returns what an operator can do about the error.
func (e *StatusError) Advice() string {
	if e.Status == http.StatusTooManyRequests {
		return "others read the list too: see who does, or raise Cloud.RatePerS at the platform"
	}
	return "check Cloud.Address and the platform"
}

// TooManyPagesError reports that the list has more pages than a reading may have.
type TooManyPagesError struct {
	Pages int // maximum number of pages that are read
}

// Error returns the maximum and the advice.
func (e *TooManyPagesError) Error() string {
	return fmt.Sprintf("the platform's list has more than %d pages; %s", e.Pages, e.Advice())
}

// Advice returns what an operator can do about the error.
func (e *TooManyPagesError) Advice() string {
	return "check the platform: its last page has to say that no other follows"
}
