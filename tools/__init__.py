"""Developer tools: demonstration, load generator, benchmarks and soak tests."""
