// Fails if the committed generated code differs from the output of the generator.
import { execFileSync } from 'node:child_process'
import { cpSync, mkdtempSync, readFileSync, readdirSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const GENERATED = 'packages/protocol/src/gen'

const listFiles = (folder) => readdirSync(folder, { recursive: true, withFileTypes: true })
  .filter((entry) => entry.isFile())
  .map((entry) => join(entry.parentPath, entry.name).slice(folder.length))
  .sort()

const snapshot = (folder) => Object.fromEntries(listFiles(folder).map((file) => [file, readFileSync(join(folder, file), 'utf8')]))

const saved = mkdtempSync(join(tmpdir(), 'hazellift-generated-'))
cpSync(GENERATED, saved, { recursive: true })
const committed = snapshot(GENERATED)
rmSync(GENERATED, { recursive: true })
try {
  execFileSync('npx', ['buf', 'generate'], { stdio: 'inherit' })
  const fresh = snapshot(GENERATED)
  const stale = [...new Set([...Object.keys(committed), ...Object.keys(fresh)])].filter((file) => committed[file] !== fresh[file])
  for (const file of stale) console.error(`stale: ${GENERATED}${file}`)
  if (stale.length > 0) process.exitCode = 1
  else console.log(`generated code is up to date (${Object.keys(fresh).length} files)`)
} finally {
  rmSync(GENERATED, { recursive: true, force: true })
  cpSync(saved, GENERATED, { recursive: true })
  rmSync(saved, { recursive: true })
}
