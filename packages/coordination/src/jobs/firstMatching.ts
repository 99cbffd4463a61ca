/**
 * Waits for the first of several results that matches.
 *
 * @param pending - results to come; none of them may reject
 * @param matches - whether a result is the one that is waited for
 * @returns the first matching result, as soon as it is there; `undefined` if none matches
 */
export const firstMatching = async <T>(pending: Array<Promise<T>>, matches: (result: T) => boolean): Promise<T | undefined> =>
  new Promise((resolve) => {
    const checks = pending.map(async (result) => {
      const value = await result
      if (matches(value)) resolve(value)
    })
    void Promise.all(checks).then(() => resolve(undefined))
  })
