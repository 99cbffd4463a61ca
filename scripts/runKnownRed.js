// Runs the tests that KNOWN-RED.txt lists and prints how each ends, so that one that is
// mended is noticed. It never fails: CI passes over these tests.
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { exactly, readKnownRed } from './knownRed.js'

const TIME_LIMIT_MS = 600_000

const VERDICTS = {
  passed: 'passed this time; it may leave the list once it has passed many times in a row',
  failed: 'failed, as listed'
}

/** Runs the tests of these names; returns the state of each test by its full name. */
const runTests = (names) => {
  const folder = mkdtempSync(join(tmpdir(), 'hazellift-known-red-'))
  const report = join(folder, 'report.json')
  try {
    spawnSync('npx', ['vitest', 'run', '-t', exactly(names), '--reporter=json', `--outputFile=${report}`], { stdio: 'ignore', timeout: TIME_LIMIT_MS })
    const { testResults } = JSON.parse(readFileSync(report, 'utf8'))
    return new Map(testResults.flatMap(({ assertionResults }) => assertionResults).map(({ fullName, status }) => [fullName, status]))
  } catch (err) {
    console.log(`the listed tests could not be run: ${err.message}`)
    return new Map()
  } finally {
    rmSync(folder, { recursive: true })
  }
}

const names = readKnownRed().map(({ name }) => name)
if (names.length === 0) console.log('KNOWN-RED.txt lists no test')
else {
  const states = runTests(names)
  for (const name of names) console.log(`known red: ${name}: ${VERDICTS[states.get(name)] ?? 'not found or not run'}`)
}
