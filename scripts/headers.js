// `Headers` for the bundles of the two roles. The global one would load Node.js's
// own copy of undici, with fetch and all that belongs to it, at the first session.
export { Headers } from '../node_modules/undici/lib/web/fetch/headers.js'
