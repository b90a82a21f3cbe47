STATICCHECK = honnef.co/go/tools/cmd/staticcheck@v0.8.2
SEED ?= 1
REQUESTS ?= 1000000

.PHONY: run build test lint bench bounds soak

run: build
	./briarcroft demo

build:
	go build -o briarcroft ./cmd/briarcroft

test:
	go test ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go run $(STATICCHECK) -checks all ./...

bench: bounds
	go test ./... -run '^$$' -bench . -benchmem -count 1

bounds:
	BRIARCROFT_FULL=1 go test ./internal/admission ./internal/host -run 'Table$$|Bound$$' -count 1 -v

soak:
	BRIARCROFT_SOAK=$(REQUESTS) BRIARCROFT_SEED=$(SEED) go test ./internal/entry -run AtMostOnceSoak -count 1 -v -timeout 60m
