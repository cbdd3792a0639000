BIN := $(CURDIR)/bin
MODULES := . bench ctl node objectstore tools upstream
CHECKED := . bench ctl node objectstore upstream
PACKAGES := $(addsuffix /...,$(addprefix ./,$(CHECKED)))
PROTOS := $(shell git ls-files '*.proto')

.PHONY: build test demo generate format lint check tools bench

build:
	go build -o $(BIN)/ ./node/cmd/... ./ctl/cmd/... ./objectstore/cmd/... ./upstream/cmd/... ./bench/cmd/...

test:
	go test -timeout 240s $(PACKAGES)

tools:
	go build -o $(BIN)/ mvdan.cc/gofumpt github.com/mgechev/revive goa.design/goa/v3/cmd/goa google.golang.org/protobuf/cmd/protoc-gen-go

generate: tools
	for f in $(PROTOS); do protoc --plugin=$(BIN)/protoc-gen-go --go_out=. --go_opt=paths=source_relative $$f || exit 1; done
	$(BIN)/goa gen sycamorerun/api/design -o api
