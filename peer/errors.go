package peer

import "github.com/pkg/errors"

var errUnknownRouter = errors.New("the router's address is not known yet; wait for membership to learn it")
