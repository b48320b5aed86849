package configuration

import (
	"fmt"

	"github.com/slipwick/slipwick/jsonfile"
)

// referenceChecker finds the errors that can be found only with all files: names that are
// declared twice and names that are not declared.
type referenceChecker struct {
	workspaces map[string]bool
	pools      map[string]bool
	backends   map[string]bool
	keyHashes  map[string]bool
	errs       jsonfile.ValidationErrors
}

// checkReferences returns the errors that a referenceChecker finds, and one more if no file
// declares a pool.
func checkReferences(sources []source, state *State) jsonfile.ValidationErrors {
	c := referenceChecker{
		workspaces: make(map[string]bool),
		pools:      make(map[string]bool),
		backends:   make(map[string]bool),
		keyHashes:  make(map[string]bool),
	}
	for _, part := range sources {
		c.checkDeclarations(part)
	}
	for _, part := range sources {
		c.checkRules(part)
	}
	if len(state.Pools) == 0 && len(sources) > 0 {
		c.errs = append(c.errs, sources[0].document.ErrorAt("", "no pools", "declare a pool in one of the files"))
	}
	return c.errs
}

func (c *referenceChecker) checkDeclarations(part source) {
	for i, workspace := range part.state.Workspaces {
		pointer := fmt.Sprintf("/workspaces/%d", i)
		c.checkUnique(part, c.workspaces, pointer+"/name", workspace.Name)
		for j, hash := range workspace.KeyHashes {
			c.checkUnique(part, c.keyHashes, fmt.Sprintf("%s/key_hashes/%d", pointer, j), hash)
		}
	}
	for i, pool := range part.state.Pools {
		pointer := fmt.Sprintf("/pools/%d", i)
		c.checkUnique(part, c.pools, pointer+"/name", pool.Name)
		for j, backend := range pool.Backends {
			c.checkUnique(part, c.backends, fmt.Sprintf("%s/backends/%d/id", pointer, j), backend.ID)
		}
	}
}

func (c *referenceChecker) checkUnique(part source, seen map[string]bool, pointer, name string) {
	if seen[name] {
		c.errs = append(c.errs, part.document.ErrorAt(pointer, name+" is declared twice",
			"use each name once in all files together"))
	}
	seen[name] = true
}

func (c *referenceChecker) checkRules(part source) {
	for i, rule := range part.state.Rules {
		pointer := fmt.Sprintf("/rules/%d", i)
		if rule.Workspace != Any {
			c.checkDeclared(part, c.workspaces, pointer+"/workspace", rule.Workspace)
		}
		c.checkDeclared(part, c.pools, pointer+"/pool", rule.Pool)
		if rule.Fallback != "" {
			c.checkDeclared(part, c.pools, pointer+"/fallback", rule.Fallback)
		}
	}
}

func (c *referenceChecker) checkDeclared(part source, declared map[string]bool, pointer, name string) {
	if !declared[name] {
		c.errs = append(c.errs, part.document.ErrorAt(pointer, name+" is not declared",
			"declare it in one of the files, or correct the name"))
	}
}
