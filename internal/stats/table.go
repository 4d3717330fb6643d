package stats

// This file owns the CSV tables that scale tests write.

import (
	"encoding/csv"
	"errors"
	"os"
	"strconv"
)

// WriteTable writes a CSV file with a header line and one line for each row.
func WriteTable(path string, header []string, rows [][]float64) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	w := csv.NewWriter(file)
	if err := w.Write(header); err != nil {
		return err
	}
	for _, row := range rows {
		record := make([]string, len(row))
		for i, value := range row {
			record[i] = strconv.FormatFloat(value, 'g', -1, 64)
		}
		if err := w.Write(record); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
