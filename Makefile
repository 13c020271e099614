# Front end of the CMake build. "make demo" and "make check" also install the packages they need.

BUILD ?= build
SOURCES = $(shell git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'fakes/*.cpp' 'fakes/*.h' 'bench/*.cpp' 'bench/*.h' 'fuzz/*.cpp' | grep -v '\.pb\.')
TIDY_SOURCES = $(filter %.cpp,$(SOURCES))

.PHONY: all packages build check check-asan lint format soak startstop drains review-starts crowds churn demo up bench-path bench-capacity proto clean

all: build

packages:
	@scripts/install-packages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD)-cmake.log 2>&1 || (cat $(BUILD)-cmake.log; exit 1)
	@mkdir -p $(BUILD) && mv $(BUILD)-cmake.log $(BUILD)/cmake.log
	@cmake --build $(BUILD)

check: build
	cd $(BUILD) && ctest --output-on-failure --no-tests=error

check-asan: packages
	@mkdir -p build-asan
	cmake -S . -B build-asan -G Ninja -DLAVENDERHALL_SANITIZE=ON > build-asan/cmake.log
	cmake --build build-asan
	cd build-asan && ctest --output-on-failure --no-tests=error

# clang-tidy needs the compile commands only, not the object files.
lint: packages
	@test -f $(BUILD)/compile_commands.json || $(MAKE) build
	clang-format --dry-run --Werror $(SOURCES)
	@echo "clang-format: clean"
	@echo $(TIDY_SOURCES) | tr ' ' '\n' | xargs -P $$(nproc) -n 2 clang-tidy -p $(BUILD) --quiet 2>/dev/null
	@echo "clang-tidy: clean"

# Runs real processes under random faults of a seed. SOAK holds the options of soak.py.
SOAK ?= --seed 1 --seconds 8
soak: build
	python3 platform/soak/losses_test.py
	python3 platform/soak/resends_test.py
	python3 platform/soak/soak.py --build $(BUILD) $(SOAK)

# Starts and stops real processes while something passing stands in the way.
startstop: build
	python3 platform/soak/startstop.py --build $(BUILD)

# Stops real processes while callers keep sending requests, and fails for each lost request. DRAINS holds the options of
# drains.py.
DRAINS ?= --seed 1
drains: build
	python3 platform/soak/drains.py --build $(BUILD) $(DRAINS)

# Starts a real router as the cases in review/ do.
review-starts: build
	python3 review/starts.py $(BUILD)/lavenderhall

# Runs a real router with little memory against groups of misbehaving clients, one group after the other. CROWDS holds
# the options of crowds.py.
CROWDS ?= --seed 1
crowds: build
	python3 platform/soak/crowds.py --build $(BUILD) $(CROWDS)

# Kills, stops and starts real processes at random, and fails for each that ends by itself. CHURN holds
# the options of churn.py.
CHURN ?= --seed 20 --seconds 22
churn: build
	python3 platform/soak/churn.py --build $(BUILD) $(CHURN)

format:
	clang-format -i $(SOURCES)

demo: build
	python3 scripts/demo.py --build $(BUILD)

up: build
	python3 scripts/demo.py --build $(BUILD) --stay

bench-path: build
	python3 scripts/bench_path.py --build $(BUILD)

bench-capacity: build
	python3 scripts/bench_capacity.py --build $(BUILD)

# Only needed after a change of a .proto file; the result is committed.
proto:
	cd src/proto && protoc --cpp_out=. *.proto

clean:
	rm -rf build build-asan
