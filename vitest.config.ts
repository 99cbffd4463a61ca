import { relative } from 'node:path'
import { defineConfig } from 'vitest/config'
import type { TestModule } from 'vitest/node'
import { exactly, readKnownRed } from './scripts/knownRed.js'

const knownRed = readKnownRed()
for (const { line } of knownRed) console.log(`known red, passed over: ${line}`)
const knownRedPattern = exactly(knownRed.map(({ name }) => name))

/** Prints each test file that begins, as one that never ends is not reported otherwise. */
const startReporter = {
  onTestModuleStart: ({ moduleId }: TestModule) => console.log(` … ${relative(import.meta.dirname, moduleId)}`)
}

export default defineConfig({
  test: {
    include: ['packages/*/src/**/*.test.ts', 'packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts', 'tests/**/*.test.ts'],
    // A test that is selected with -t runs even if it is listed.
    ...(knownRed.length > 0 && { testNamePattern: new RegExp(`^(?!${knownRedPattern.slice(1)})`) }),
    reporters: ['default', startReporter],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // Each failure test starts several processes; more files at once would leave them too little CPU time on a small machine.
    maxWorkers: 3
  }
})
