import { describe, expect, it } from 'vitest'
import { formatLogLine } from './createLogger.js'
import type { LogValue } from './createLogger.js'

describe('a log line', () => {
  const cases: Array<{ name: string, fields?: Record<string, LogValue>, line: string }> = [
    { name: 'without fields', line: 'event=started' },
    { name: 'with numbers', fields: { ms: 1.5, low: -1, version: 12n, none: NaN }, line: 'event=started ms=1.5 low=-1 version=12 none=NaN' },
    { name: 'with a truth value', fields: { busy: false }, line: 'event=started busy=false' },
    { name: 'without undefined fields', fields: { entry: undefined, task: 3 }, line: 'event=started task=3' },
    { name: 'with text that needs no quotes', fields: { address: '10.0.0.1:80' }, line: 'event=started address=10.0.0.1:80' },
    { name: 'with empty text', fields: { reason: '' }, line: 'event=started reason=""' },
    { name: 'with text that would end early', fields: { error: 'a=b "c"\n' }, line: 'event=started error="a=b \\"c\\"\\n"' }
  ]
  it.each(cases)('$name', ({ fields, line }) => {
    expect(formatLogLine('started', fields)).toBe(line)
  })
})
