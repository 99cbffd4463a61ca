import neostandard from 'neostandard'

/** Packages in the order of dependency: each may import only those before it. */
const LAYERS = ['decisions', 'common', 'protocol', 'store', 'coordination', 'sessions', 'entry', 'agent', 'standins', 'lab']

const forbiddenFor = (name) => {
  const later = LAYERS.slice(LAYERS.indexOf(name))
  const siblings = name === 'agent' ? ['entry'] : []
  return [...later, ...siblings].map((other) => `@hazellift/${other}`)
}

const layerRules = LAYERS.map((name) => ({
  files: [`packages/${name}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': ['error', { patterns: [{ group: forbiddenFor(name), message: 'Packages depend one way only.' }] }]
  }
}))

/** The coordination parts get clock, randomness, store and transport as arguments; they open nothing themselves. */
const pureRules = {
  files: ['packages/coordination/src/**/*.ts', 'packages/decisions/src/**/*.ts'],
  ignores: ['**/*.test.ts', '**/tests/**'],
  rules: {
    'no-restricted-globals': ['error', 'fetch', 'setTimeout', 'setInterval', 'setImmediate'],
    'no-restricted-properties': ['error', { object: 'Date', property: 'now' }, { object: 'Math', property: 'random' }]
  }
}

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', '**/gen/**', 'node_modules/**', 'out/**', 'target/**'] }),
  ...layerRules,
  pureRules,
  { rules: { 'no-void': ['error', { allowAsStatement: true }], 'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }] } },
  { files: ['**/*.test.ts', '**/tests/**'], rules: { 'max-lines-per-function': 'off' } }
]
