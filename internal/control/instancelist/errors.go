package instancelist

import (
	"fmt"
	"net/http"
)

// StatusError says that the platform refused a page of its list.
type StatusError struct {
	Status int // of HTTP
}

// Error names the status, with the advice.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the platform's list answers %d; %s", e.Status, e.Advice())
}

// Advice says what an operator can do.
func (e *StatusError) Advice() string {
	if e.Status == http.StatusTooManyRequests {
		return "others read the list too: see who does, or raise Cloud.RatePerS at the platform"
	}
	return "check Cloud.Address and the platform"
}

// TooManyPagesError says that the list did not end.
type TooManyPagesError struct {
	Pages int // the most that are read
}

// Error names the bound, with the advice.
func (e *TooManyPagesError) Error() string {
	return fmt.Sprintf("the platform's list has more than %d pages; %s", e.Pages, e.Advice())
}

// Advice says what an operator can do.
func (e *TooManyPagesError) Advice() string {
	return "check the platform: its last page has to say that no other follows"
}
