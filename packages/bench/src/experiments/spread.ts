/** Writes a number with three digits that count. */
export const formatNumber = (value: number): string => {
  if (Number.isNaN(value)) return '–';
  if (value === 0) return '0';
  if (Math.abs(value) >= 100) return value.toFixed(0);
  return Number(value.toPrecision(3)).toString();
};

/**
 * Writes the mean of several runs with the lowest and highest.
 *
 * @example
 * formatSpread([1, 2, 3]); // '2 (1–3)'
 */
export const formatSpread = (values: readonly number[]): string => {
  const known = values.filter((value) => !Number.isNaN(value));
  if (known.length === 0) return '–';
  const mean = known.reduce((sum, value) => sum + value, 0) / known.length;
  if (known.length === 1) return formatNumber(mean);
  const [low, high] = [Math.min(...known), Math.max(...known)];
  return `${formatNumber(mean)} (${formatNumber(low)}–${formatNumber(high)})`;
};
