// Bundles the roles into the directory that the deploy file uses, or into the one given
// as the first argument, and copies the Node.js binary that runs them into it.
import { bundleRoles } from './bundleRoles.js'
import { placeRuntime } from './placeRuntime.js'

const directory = process.argv[2] ?? 'target'

await bundleRoles(directory)
placeRuntime(directory)
