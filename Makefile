# Build, test, lint and run. 'make test' is what CI calls.
.PHONY: build test lint run check clean

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

lint:
	@test -z "$$(gofmt -l .)" || { echo "gofmt is due:"; gofmt -l .; exit 1; }
	go vet ./...
	go vet -tags debug ./...

check: build
	sh deploy/check.sh

test: lint check
	go test -timeout 300s ./...
	go test -race -timeout 300s -tags debug ./...

# A dispatcher by hand: make run CONFIG=config.json
run: build
	NODE_CONFIG=$(CONFIG) exec bin/yardflow

clean:
	rm -rf bin logs
