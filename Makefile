# Targets of the project; .ci/run calls test, model and check-generated.
.PHONY: build test demo model generate check-generated format soak bench

build:
	go build -o bin/auburngap .

# The tests as README.md names them. Only those that KNOWN-RED.txt lists are skipped.
# The tests of processes run alone on the machine, because their bounds are in real time,
# and uncached, because they build the programs that they run.
test:
	go test -race -timeout 10m $$(./.ci/known-red-flags) $$(go list ./... | grep -v /e2e$$)
	go test -race -p 1 -count=1 -timeout 10m $$(./.ci/known-red-flags) ./e2e ./platform/e2e
	go test $$(./.ci/known-red-flags) ./experiment

# The main job: a platform stand-in and three availability zones as processes.
demo: build
	go run ./demo

# Searches the specification of shard ownership and expects the injected faults to fail.
model:
	@if [ -x spec/check ]; then ./spec/check; else echo "no specification yet"; fi

generate:
	go tool -modfile=tools/go.mod buf generate
	go generate ./...

check-generated: generate
	git diff --exit-code -- '*.pb.go' docs/SETTINGS.md

format:
	go tool -modfile=tools/go.mod gofumpt -w .

soak:
	SOAK_SEED=$(SEED) SOAK_MINUTES=$(MINUTES) go test -timeout 120m -run '^TestSoak$$' ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...
