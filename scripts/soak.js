// Bundles the roles and the soak, and runs the soak with the given arguments.
import { spawnSync } from 'node:child_process'
import { build } from 'esbuild'
import { bundleRoles } from './bundleRoles.js'

const OUT = 'out/soak'

await bundleRoles(OUT)
await build({
  entryPoints: { soak: 'platform/soak/main.ts' },
  outdir: OUT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  packages: 'external',
  logLevel: 'error'
})
const { status } = spawnSync(process.execPath, [`${OUT}/soak.mjs`, '--bundles', OUT, ...process.argv.slice(2)], { stdio: 'inherit' })
process.exit(status ?? 1)
