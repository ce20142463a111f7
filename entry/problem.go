package entry

import (
	"errors"
	"net/http"

	"hemlockhinge/refuse"
)

// asProblem converts an error of the HTTP API into the problem document of the
// response.
func asProblem(err error) *refuse.Problem {
	var v *VersionConflictError
	if errors.As(err, &v) {
		return refuse.NotRun(http.StatusPreconditionFailed, "version", v.Error())
	}
	return refuse.FromError(err)
}
