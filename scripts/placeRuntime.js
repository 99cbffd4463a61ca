// Copies the Node.js binary that runs the roles next to their bundles, and checks
// that it accepts the flags from the deploy file.
import { execFileSync } from 'node:child_process'
import { copyFileSync, mkdirSync, readFileSync, renameSync } from 'node:fs'
import { createRequire } from 'node:module'
import { join } from 'node:path'
import { parse } from 'smol-toml'

/** Says how the platform builds and runs the roles. */
export const DEPLOY_FILE = 'deploy/system.toml'

/**
 * Finds the binary of the pinned Node.js package, or the Node.js that runs this
 * script if there is no package for the system.
 *
 * @param {string} platform - value of `process.platform`
 * @param {string} arch - value of `process.arch`
 * @returns {string} path of the binary
 */
export const findRuntime = (platform = process.platform, arch = process.arch) => {
  try {
    return createRequire(import.meta.url).resolve(`node-${platform}-${arch}/bin/node`)
  } catch {
    console.error(`no pinned Node.js package for ${platform}-${arch}: the roles will run on ${process.version}, which runs this script`)
    return process.execPath
  }
}

/**
 * Reads the Node.js flags of each role: the words of its command that begin with `--`.
 *
 * @param {string} deployFile - content of the deploy file, in TOML
 * @returns {{ role: string, flags: string[] }[]}
 */
export const readRoleFlags = (deployFile) => Object.entries(parse(deployFile).roles ?? {}).map(([role, { run }]) => ({
  role,
  flags: String(run).split(' ').slice(1).filter((word) => word.startsWith('--'))
}))

/**
 * Throws if the runtime rejects a role's flags, because its processes would not start.
 *
 * @param {string} runtime - path of the Node.js binary
 * @param {{ role: string, flags: string[] }[]} roles
 */
export const checkFlags = (runtime, roles) => {
  for (const { role, flags } of roles) {
    try {
      execFileSync(runtime, [...flags, '-e', '0'], { stdio: ['ignore', 'ignore', 'pipe'] })
    } catch (err) {
      throw new Error(`${DEPLOY_FILE}: the role '${role}' cannot start with ${flags.join(' ')}: ${String(err.stderr ?? err).trim()}`)
    }
  }
}

/**
 * Copies the runtime into a directory as `node`, after checking the roles' flags. The
 * copy takes the place of an earlier one, which may be running and cannot be overwritten.
 *
 * @param {string} directory - created if it is missing
 */
export const placeRuntime = (directory) => {
  const runtime = findRuntime()
  checkFlags(runtime, readRoleFlags(readFileSync(DEPLOY_FILE, 'utf8')))
  mkdirSync(directory, { recursive: true })
  const target = join(directory, 'node')
  const copy = `${target}.${process.pid}`
  copyFileSync(runtime, copy)
  renameSync(copy, target)
}
