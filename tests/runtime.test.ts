import { execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, readdirSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, expect, it } from 'vitest'

// The build places the Node.js binary that runs the roles. If it rejects a flag of a role
// or its package is missing, the build must report it: otherwise processes never start.

const { DEPLOY_FILE, checkFlags, findRuntime, placeRuntime, readRoleFlags } = await import(new URL('../scripts/placeRuntime.js', import.meta.url).href)

describe('the runtime of the roles', () => {
  it.each([
    { name: 'the pinned package', platform: process.platform, arch: process.arch, isPinned: process.platform === 'linux' && ['x64', 'arm64'].includes(process.arch) },
    { name: 'the running Node.js without a package', platform: 'none', arch: 'x64', isPinned: false }
  ])('is $name', ({ platform, arch, isPinned }) => {
    const runtime: string = findRuntime(platform, arch)
    if (isPinned) expect(runtime).toContain(`node-${platform}-${arch}`)
    else expect(runtime).toBe(process.execPath)
  })

  it.each([
    { name: 'accepts no flags', flags: [], expectedError: undefined },
    { name: 'accepts known flags', flags: ['--single-threaded', '--max-semi-space-size=2'], expectedError: undefined },
    { name: 'rejects an unknown flag', flags: ['--single-threaded', '--no-such-flag'], expectedError: /role 'agent' cannot start with .*--no-such-flag/ },
    { name: 'rejects a flag value of the wrong type', flags: ['--max-old-space-size=much'], expectedError: /role 'agent' cannot start/ }
  ])('$name', ({ flags, expectedError }) => {
    const check = (): void => checkFlags(process.execPath, [{ role: 'agent', flags }])
    if (expectedError === undefined) expect(check).not.toThrow()
    else expect(check).toThrow(expectedError)
  })

  it('is placed anew while roles run on the one placed before', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'hazellift-runtime-'))
    placeRuntime(directory)
    const role = spawn(join(directory, 'node'), ['-e', 'setInterval(() => {}, 1000)'], { stdio: 'ignore' })
    await once(role, 'spawn')
    expect(() => placeRuntime(directory)).not.toThrow()
    expect(readdirSync(directory)).toEqual(['node'])
    role.kill()
  })

  // A flag that changes how V8 compiles made it reject them: each start compiled 70 modules of Node.js again.
  it('is given flags with which Node.js uses its code caches of built-in modules', () => {
    const roles = readRoleFlags(readFileSync(DEPLOY_FILE, 'utf8')) as Array<{ role: string, flags: string[] }>
    const script = `require('node:http2')
      const { internalBinding } = require('internal/test/binding')
      console.log(internalBinding('builtins').getCacheUsage().compiledWithoutCache.size)`
    for (const { role, flags } of roles) {
      const compiled = execFileSync(findRuntime(), [...flags, '--expose-internals', '--no-warnings', '-e', script], { encoding: 'utf8' })
      expect(`${role}: ${compiled.trim()} modules compiled`).toBe(`${role}: 0 modules compiled`)
    }
  })

  it('gets the flags of each role without its other arguments', () => {
    const file = '[roles.a]\nrun = "target/node --x=1 --y target/a.cjs a"\n[roles.b]\nrun = "target/node target/b.cjs"\n'
    expect(readRoleFlags(file)).toEqual([{ role: 'a', flags: ['--x=1', '--y'] }, { role: 'b', flags: [] }])
  })
})
