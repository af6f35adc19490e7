BUILD := build
JOBS := $(shell nproc)
SEEDS := 1-50
FUZZ_SECONDS := 15
FUZZ_SEED := 1

.PHONY: demo test build install format format-check lint bench soak fuzz clean

install:
	@./tools/install.sh

build: install
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >$(BUILD).log 2>&1 || (cat $(BUILD).log; exit 1)
	@rm -f $(BUILD).log
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@python3 tools/demo.py

test: build
	@./tools/test.sh $(BUILD)

bench: build
	@$(BUILD)/almondgate-capacity
	@$(BUILD)/almondgate-bench

soak: build
	@python3 tools/soak.py $(SEEDS)

fuzz: install
	@./tools/fuzz.sh $(FUZZ_SECONDS) $(FUZZ_SEED)

format:
	@./tools/sources.sh | xargs clang-format -i

format-check:
	@./tools/sources.sh | xargs clang-format --dry-run -Werror

lint: build
	@./tools/sources.sh | grep '\.cpp$$' | xargs -P $(JOBS) -n 2 clang-tidy --quiet -p $(BUILD)

clean:
	@cmake -E rm -rf $(BUILD) build-fuzz
