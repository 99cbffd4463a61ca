// Bundles the roles where the deploy file looks for them, or where the first argument says.
import { bundleRoles } from './bundleRoles.js'

await bundleRoles(process.argv[2] ?? 'target')
