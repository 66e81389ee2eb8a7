GO ?= go
BIN := bin
TOOLS := $(abspath $(BIN)/tools)

.PHONY: all build tools lint format generate test demo bench measure

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

tools:
	cd tools && $(GO) build -o $(TOOLS)/ tool

lint: tools
	@files=$$($(TOOLS)/gofumpt -l cmd internal); if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi
	$(TOOLS)/revive -config tools/revive.toml ./...
	$(GO) vet ./...

format: tools
	$(TOOLS)/gofumpt -w cmd internal

generate: tools
	PATH="$(TOOLS):$$PATH" protoc -I internal/wire/controlpb --go_out=internal/wire/controlpb --go_opt=paths=source_relative \
		--go-grpc_out=internal/wire/controlpb --go-grpc_opt=paths=source_relative internal/wire/controlpb/control.proto

test: build
	$(GO) test ./...

demo: build
	$(BIN)/orioledyke-demo

bench:
	$(GO) test -run '^$$' -bench 'Route|TableChange|Forward' ./internal/balancer/...

# SEED sets the seed. Missed goals do not fail the run, because it is a measurement.
measure:
	@ORIOLEDYKE_MEASURE=1 ORIOLEDYKE_MEASURE_OUTPUT=$(abspath out/measure.json) SEED=$(or $(SEED),1) \
		$(GO) test -count=1 -timeout 30m -run '^TestMeasure$$' -v ./internal/standin/measure | grep -v -E '^(=== RUN|--- PASS|PASS|ok) *'
