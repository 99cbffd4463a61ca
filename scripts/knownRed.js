// The tests that fail for a known fault, as KNOWN-RED.txt lists them.
import { existsSync, readFileSync } from 'node:fs'

const LIST = new URL('../KNOWN-RED.txt', import.meta.url)

const escapePattern = (text) => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&')

/**
 * Reads the list; each of its lines is NAME | CAUSE | ISSUE.
 *
 * @returns {{ name: string, line: string }[]} the full name of each test, and its line
 */
export const readKnownRed = () => {
  if (!existsSync(LIST)) return []
  const lines = readFileSync(LIST, 'utf8').split('\n').filter((line) => line !== '' && !line.startsWith('#'))
  return lines.map((line) => ({ name: line.split('|')[0].trim(), line }))
}

/**
 * A pattern that matches exactly the given names.
 *
 * @param {string[]} names - full names of tests
 * @returns {string} source of a regular expression
 */
export const exactly = (names) => `^(?:${names.map(escapePattern).join('|')})$`
