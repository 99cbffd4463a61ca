import { readFileSync } from 'node:fs'
import { expect, test, vi } from 'vitest'

const EXAMPLE = '../examples/shareSlots.js'

test('the example in the README runs and prints the values in its comments', async () => {
  const source = readFileSync(new URL(EXAMPLE, import.meta.url), 'utf8')
  expect(readFileSync(new URL('../README.md', import.meta.url), 'utf8')).toContain(source)
  const log = vi.spyOn(console, 'log').mockImplementation(() => {})
  await import(EXAMPLE)
  expect(log.mock.calls).toEqual([[[{ entry: 'entry-1', credits: 3 }, { entry: 'entry-2', credits: 1 }]], [5]])
  log.mockRestore()
})
