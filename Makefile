# make demo: builds the programs, starts every component as a separate process,
# sends work and stops.
# make test: runs everything that CI runs.
.PHONY: demo up test build fmt generate measure soak soak-processes bench

GO ?= go
TOOL = $(GO) tool -modfile=tools/go.mod

build:
	$(GO) build -o bin/corianderbank ./cmd/corianderbank
	$(GO) build -o bin/standin ./cmd/standin

demo: build
	bash scripts/demo.sh

# Starts the same processes and keeps them running until interrupted.
up: build
	bash scripts/demo.sh stay

test:
	bash .ci/run

fmt:
	$(TOOL) gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

generate:
	$(GO) build -modfile=tools/go.mod -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative api/peer/peer.proto
	sha256sum api/peer/peer.proto | cut -d" " -f1 > api/peer/peer.proto.sha256

measure:
	$(GO) run ./cmd/measure

SEEDS ?= 1000
soak:
	SOAK_SEEDS=$(SEEDS) $(GO) test -count=1 -timeout 80m ./test/invariants/...

# Plays real processes under faults. FIRST is the first seed, LENGTH how many seconds of faults
# each seed plays, PLAYS how many seeds play beside each other.
FIRST ?= 1
LENGTH ?= 40
PLAYS ?= 3
soak-processes: SEEDS = 50
soak-processes:
	SOAK_SEEDS=$(SEEDS) SOAK_FIRST=$(FIRST) SOAK_SECONDS=$(LENGTH) $(GO) test -count=1 -timeout 24h -parallel $(PLAYS) \
		-v -run TestRulesHoldWithRealProcessesUnderFaults ./test/soak

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...
