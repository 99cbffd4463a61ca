// Bundles the two roles of the deploy file, one file each: a process that loads
// one file starts several times faster than one that loads hundreds, and a
// machine pays for its start.
import { build } from 'esbuild'

/**
 * @param {string} outdir - where entry.mjs and agent.mjs go
 */
export const bundleRoles = (outdir) => build({
  entryPoints: { entry: 'platform/src/entry/main.ts', agent: 'platform/src/agent/main.ts' },
  outdir,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  conditions: ['source'],
  sourcemap: 'linked',
  alias: { undici: './scripts/undiciParts.js' },
  inject: ['./scripts/headers.js'],
  legalComments: 'none',
  // Some libraries are CommonJS and ask for Node.js's own modules by require.
  banner: { js: 'import { createRequire } from \'node:module\'; const require = createRequire(import.meta.url);' }
})
