# All commands run on a fresh machine with Go and make alone.

GOLANGCI_VERSION := v2.15.0
GOPLS_VERSION := v0.23.0
BUF_VERSION := v1.75.0
PROTOC_GEN_GO_VERSION := v1.36.12
PROTOC_GEN_GO_GRPC_VERSION := v1.6.2

export GOBIN := $(CURDIR)/bin
PACKAGES := ./... ./cmd/...

.PHONY: test lint fix build generate measure soak exchanges fuzz rename

# The tests that KNOWN-RED.txt lists, as go test -skip takes them; empty without any.
KNOWN_RED = $(shell sed -n 's/^\(Test[A-Za-z0-9_]*\) |.*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)

# The packages that the race detector tests on one processor only; race_test.go has the reason.
ONE_PROCESSOR := ./claims ./directory ./emulation

# The packages of which the race detector runs small fleets only.
SMALL_FLEETS := ./quota ./balance

# Bounds the tests of one package, which take five minutes with the race detector on an idle machine.
TEST_TIMEOUT := 30m

# Runs the tests of all modules but for the known red ones, which it prints; those of ONE_PROCESSOR
# and SMALL_FLEETS once more without the race detector, on all processors.
test:
	@test -z "$(KNOWN_RED)" || cat KNOWN-RED.txt
	go test -race -timeout $(TEST_TIMEOUT) $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(PACKAGES)
	go test -timeout $(TEST_TIMEOUT) $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(ONE_PROCESSOR) $(SMALL_FLEETS)

# Runs the measurements of docs/MEASURES.md; CASE= and POLICY= choose one.
measure:
	go test ./emulation -run TestMeasure -measure -case "$(CASE)" -policy "$(POLICY)" -timeout 30m -v | grep Benchmark

# Runs the soak test of the gateway once, with injected faults: SEED= is the seed of their random
# choice, FOR= how long faults are injected.
SEED ?= 1
FOR ?= 20s
soak:
	go test ./cmd/slipwickd/soak -count 1 -v -soak-seed $(SEED) -soak-for $(FOR) -timeout 1h

# Runs the tests of exchanges with servers of any kind: ROUTERS= is the number of gateway processes, PLAYS= how many mixes of
# plans are drawn, from SEED=, and how often each known fault is played.
ROUTERS ?= 8
PLAYS ?= 8
exchanges:
	go test ./cmd/slipwickd/soak -run TestServersOf -count 1 -v -exchange-routers $(ROUTERS) -exchange-plays $(PLAYS) \
		-rapid.checks $(PLAYS) -rapid.seed $(SEED) -timeout 2h

# Runs the fuzz tests, which feed random input to the decoders of external data, each for FUZZ_FOR.
# The go command may report the end of that time as a failure, "context deadline exceeded", though
# no input failed: that alone is no failure (docs/findings/fuzz-deadline.txt).
FUZZ_FOR ?= 2s
FUZZ_LOG := bin/fuzz.log
fuzz:
	@mkdir -p bin; for file in $$(grep -rl '^func Fuzz' --include=*_test.go .); do \
		for target in $$(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' $$file); do \
			echo "$$target in $$(dirname $$file)"; \
			go test $$(dirname $$file) -run '^$$' -fuzz "^$$target$$" -fuzztime $(FUZZ_FOR) > $(FUZZ_LOG) 2>&1; \
			code=$$?; cat $(FUZZ_LOG); \
			test $$code = 0 && continue; \
			grep -A1 "^--- FAIL: $$target " $(FUZZ_LOG) | grep -qx '    context deadline exceeded' || exit 1; \
			if grep -q 'Failing input' $(FUZZ_LOG); then exit 1; fi; \
		done; \
	done

build:
	go build -o bin/ ./cmd/slipwick ./cmd/slipwickd

# Checks format and style of all modules.
lint: bin/golangci-lint-$(GOLANGCI_VERSION)
	$< run $(PACKAGES)
	$< fmt --diff

fix: bin/golangci-lint-$(GOLANGCI_VERSION)
	$< fmt
	$< run --fix $(PACKAGES)

bin/golangci-lint-$(GOLANGCI_VERSION):
	GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv bin/golangci-lint $@

# Renames an identifier in all modules: AT=FILE:LINE:COLUMN TO=NAME.
rename: bin/gopls-$(GOPLS_VERSION)
	$< rename -w $(AT) $(TO)

bin/gopls-$(GOPLS_VERSION):
	GOWORK=off go install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	mv bin/gopls $@

# Writes the generated code anew; it is committed, so that a build needs none
# of these tools.
generate:
	GOWORK=off go install github.com/bufbuild/buf/cmd/buf@$(BUF_VERSION)
	GOWORK=off go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	GOWORK=off go install google.golang.org/grpc/cmd/protoc-gen-go-grpc@$(PROTOC_GEN_GO_GRPC_VERSION)
	bin/buf generate
