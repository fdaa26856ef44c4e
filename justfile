# The common commands. `just` lists them.

# Build and run the demo fleet.
demo:
    cargo run --release -- demo

# Run all tests.
test:
    ./test

# Everything that CI runs.
ci:
    .ci/run

# Generate the wire types from proto/.
generate:
    cargo run -p xtask
