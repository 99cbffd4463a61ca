// Bundles each of the two roles of the deploy file into one file: a process that
// loads one file starts several times faster than one that loads hundreds, and
// startup uses CPU time of the machine.
import { build } from 'esbuild'

/**
 * Bundles the entry and the agent for Node.js.
 *
 * @param {string} outdir - directory that entry.cjs and agent.cjs are written to
 */
export const bundleRoles = (outdir) => build({
  entryPoints: { entry: 'platform/src/entry/main.ts', agent: 'platform/src/agent/main.ts' },
  outdir,
  bundle: true,
  platform: 'node',
  target: 'node20',
  // An ESM import of `node:http` reads all of its exports, which loads Node.js's
  // built-in undici with all of fetch; a require reads only the exports that are used.
  format: 'cjs',
  outExtension: { '.js': '.cjs' },
  conditions: ['source'],
  sourcemap: 'linked',
  alias: { undici: './scripts/undiciParts.js' },
  inject: ['./scripts/headers.js'],
  legalComments: 'none'
})
