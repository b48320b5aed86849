package configuration

// Any matches every workspace or model in a rule.
const Any = "*"

// Rule sends a workspace's requests for a model or a service to a pool. The
// first rule that matches applies.
type Rule struct {
	Workspace string `json:"workspace" validate:"required"`
	// Model is the model of a chat, or the name of a service that is not a model engine.
	Model string `json:"model" validate:"required"`
	Pool  string `json:"pool" validate:"required"`
	// Fallback is the pool that is used if Pool has no usable backend server; empty for none.
	Fallback string `json:"fallback"`
}

// Matches reports whether the rule applies to the workspace and model.
func (r Rule) Matches(workspace, model string) bool {
	return (r.Workspace == Any || r.Workspace == workspace) && (r.Model == Any || r.Model == model)
}
