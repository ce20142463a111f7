package entry

import (
	"errors"
	"net/http"

	"hemlockhinge/refuse"
)

// asProblem turns any error of the operators' and jobs' interfaces into a
// refusal.
func asProblem(err error) *refuse.Problem {
	var v *VersionError
	if errors.As(err, &v) {
		return refuse.NotRun(http.StatusPreconditionFailed, "version", v.Error())
	}
	return refuse.FromError(err)
}
