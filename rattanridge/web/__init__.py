"""HTTP ports: serving, reading bodies within bounds, refusing with a code."""
