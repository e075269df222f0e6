# Entry points for people and CI. The build itself is CMakeLists.txt.
BUILD ?= build
JOBS ?= $(shell nproc)
# make fuzz runs 25,000 histories of each kind for each seed.
FUZZ_SEEDS ?= 1 2 3 4

.PHONY: packages build test e2e fuzz demo load-demo bench-policy plot-policy capacity format format-check lint proto clean soak platform-names

packages:
	sh scripts/packages.sh

build:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: packages build
	cd $(BUILD) && ctest --output-on-failure -j $(JOBS)

e2e: build
	cd $(BUILD) && ctest --output-on-failure -L e2e

fuzz: build
	printf '%s\n' $(FUZZ_SEEDS) | xargs -P $(JOBS) -I SEED \
		$(BUILD)/fuzz-histories --seed SEED --count 25000

# Fails where a bound is missed; KNOWN-RED.txt lists those that are known.
bench-policy: build
	$(BUILD)/bench-policy

plot-policy: build
	sh bench/plot-policy.sh $(BUILD)

demo: packages build
	bash scripts/demo.sh $(BUILD)

load-demo: build
	bash scripts/load_demo.sh $(BUILD) docs/load

capacity: build
	sh scripts/capacity.sh $(BUILD)

format:
	sh scripts/sources.sh | xargs clang-format -i

format-check:
	sh scripts/sources.sh | xargs clang-format --dry-run --Werror

lint: build
	sh scripts/sources.sh | grep '\.cpp$$' | xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD)

# Fifty seeds, one after another.
soak: build
	$(BUILD)/soak-edge --seed $$(seq 1 50) --seconds 20

# No name of the users' platform may stand outside platform/, its stand-ins and their tests.
platform-names:
	! git grep -nE 'X-Response-Seal|X-Not-Executed|X-Expect-|X-Request-Urgency|X-Token-Usage|kv-range|kv-watch|BALSAMPORT_NODE_FILE|fencing_token|adapter_slots' -- src include

proto:
	protoc --proto_path=src/wire --cpp_out=src/wire/generated src/wire/balsamport.proto

clean:
	cmake --build $(BUILD) --target clean
